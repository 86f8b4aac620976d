package org.lentilhinge.published;

/**
 * An announced version of an adapter.
 *
 * @param model the base model
 * @param adapter the adapter's name
 * @param version the version to be used by new requests
 */
public record AdapterRelease(String model, String adapter, long version) {}
