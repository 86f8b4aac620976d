package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.customer.Customer;

/** Finds allowances whose burst is below the cost of one plain request or has no effect. */
final class AllowanceCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    List<EntryFinding> findings = new ArrayList<>();
    List<Customer> customers = checked.configuration().customers().customers();
    for (int index = 0; index < customers.size(); index++) {
      Allowance allowance = customers.get(index).allowance();
      EntryReference burst = EntryReference.of(EntryField.CUSTOMER_BURST, index);
      EntryReference rate = EntryReference.of(EntryField.CUSTOMER_RATE, index);
      int cost = allowance.tokens() ? allowance.plainTokens() : 1;
      if (allowance.isUnlimited()) {
        if (allowance.burst() > 0) {
          findings.add(
              EntryFinding.warning("a rate of 0 means no limit: the burst is unused", burst, rate));
        }
      } else if (allowance.burst() < cost) {
        findings.add(
            EntryFinding.warning(
                "the burst of "
                    + allowance.burst()
                    + " is below the cost of one plain request, which is "
                    + cost,
                burst,
                EntryReference.of(EntryField.CUSTOMER_PLAIN_UNITS, index),
                rate));
      }
    }
    return findings;
  }
}
