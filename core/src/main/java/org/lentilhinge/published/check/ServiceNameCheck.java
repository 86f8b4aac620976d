package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.lentilhinge.forward.ServiceShare;

/** Finds services that are declared twice, and services to which no route leads. */
final class ServiceNameCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    Set<String> used =
        checked.configuration().routes().stream()
            .flatMap(route -> route.shares().stream())
            .map(ServiceShare::service)
            .collect(Collectors.toSet());
    List<EntryFinding> findings = new ArrayList<>();
    List<String> names = checked.serviceNames();
    for (int index = 0; index < names.size(); index++) {
      String name = names.get(index);
      int last = names.lastIndexOf(name);
      EntryReference reference = EntryReference.of(EntryField.SERVICE_NAME, index);
      if (name.isBlank()) {
        findings.add(EntryFinding.error("the name is empty", reference));
      } else if (last != index) {
        findings.add(
            EntryFinding.error(
                "a later service is named '" + name + "', too, and replaces this one",
                reference,
                EntryReference.of(EntryField.SERVICE_NAME, last)));
      } else if (!used.contains(name)) {
        findings.add(
            EntryFinding.warning("no route leads to the service '" + name + "'", reference));
      }
    }
    return findings;
  }
}
