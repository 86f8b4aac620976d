package org.lentilhinge.configuration;

import org.lentilhinge.finding.Place;

/**
 * An entry of a configuration file.
 *
 * @param section the name of the section
 * @param key the key
 * @param value the value, without surrounding spaces
 * @param place the place of the entry
 */
public record ConfigurationEntry(String section, String key, String value, Place place) {}
