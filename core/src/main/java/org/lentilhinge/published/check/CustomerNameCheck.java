package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.customer.Customer;

/** Finds customers without a name, and customers that share a name. */
final class CustomerNameCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    List<EntryFinding> findings = new ArrayList<>();
    Map<String, Integer> indexes = new HashMap<>();
    List<Customer> customers = checked.configuration().customers().customers();
    for (int index = 0; index < customers.size(); index++) {
      String name = customers.get(index).name();
      EntryReference reference = EntryReference.of(EntryField.CUSTOMER_NAME, index);
      Integer former = indexes.putIfAbsent(name, index);
      if (name.isBlank()) {
        findings.add(EntryFinding.error("the name is empty", reference));
      } else if (former != null) {
        findings.add(
            EntryFinding.error(
                "another customer is named '"
                    + name
                    + "', too, and their quotas cannot be told"
                    + " apart",
                reference,
                EntryReference.of(EntryField.CUSTOMER_NAME, former)));
      }
    }
    return findings;
  }
}
