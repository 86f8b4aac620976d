package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.customer.Customer;

/** Finds keys that two customers hold, and empty ones. Its findings contain no part of a key. */
final class CustomerKeyCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    List<EntryFinding> findings = new ArrayList<>();
    Map<String, EntryReference> holders = new HashMap<>();
    List<Customer> customers = checked.configuration().customers().customers();
    for (int index = 0; index < customers.size(); index++) {
      List<String> keys = customers.get(index).apiKeys();
      for (int part = 0; part < keys.size(); part++) {
        EntryReference reference = new EntryReference(EntryField.CUSTOMER_KEY, index, part);
        EntryReference former = holders.put(keys.get(part), reference);
        if (keys.get(part).isBlank()) {
          findings.add(EntryFinding.error("the key is empty", reference));
        } else if (former != null && former.index() == index) {
          findings.add(EntryFinding.warning("the key is repeated", reference, former));
        } else if (former != null) {
          findings.add(
              EntryFinding.error(
                  "the customer '"
                      + customers.get(former.index()).name()
                      + "' holds the same key; its requests count for the later customer",
                  reference,
                  former));
        }
      }
    }
    return findings;
  }
}
