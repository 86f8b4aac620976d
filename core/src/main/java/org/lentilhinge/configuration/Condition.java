package org.lentilhinge.configuration;

/**
 * A condition that an attribute of the request has a value. The attribute "model" is the model
 * named in the request's body; any other attribute comes from a request header.
 *
 * @param attribute the attribute's name, in lower case
 * @param value the required value
 */
public record Condition(String attribute, String value) {}
