package org.lentilhinge.permit;

/**
 * An order to an engine to load or unload an adapter or a base model.
 *
 * @param load true to load, false to unload
 * @param model the base model
 * @param adapter the adapter's name, or an empty string for the base model itself
 * @param version the adapter's version, or 0 for the newest one
 */
public record AdapterOrder(boolean load, String model, String adapter, long version) {}
