package org.lentilhinge.published.check;

/**
 * A reference to a part of a published configuration.
 *
 * @param field the field
 * @param index the index of the route, service or customer; 0 where there is only one entry
 * @param part the index of the share or key within the entry; 0 for other fields
 */
public record EntryReference(EntryField field, int index, int part) {

  /**
   * Returns a reference to a field that exists once.
   *
   * @param field the field
   * @return the reference
   */
  public static EntryReference of(EntryField field) {
    return new EntryReference(field, 0, 0);
  }

  /**
   * Returns a reference to a field of a route, service or customer.
   *
   * @param field the field
   * @param index the index of the entry
   * @return the reference
   */
  public static EntryReference of(EntryField field, int index) {
    return new EntryReference(field, index, 0);
  }
}
