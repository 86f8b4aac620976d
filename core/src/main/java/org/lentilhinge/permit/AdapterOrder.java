package org.lentilhinge.permit;

/**
 * Orders an engine to load or unload an adapter, or a base model.
 *
 * @param load whether to load; to unload otherwise
 * @param model the base model
 * @param adapter the adapter's name, or an empty text for the base model itself
 * @param version the adapter's version, or 0 for the newest
 */
public record AdapterOrder(boolean load, String model, String adapter, long version) {}
