package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.forward.EngineCapacity;
import org.lentilhinge.forward.ForwardService;

/** Finds services whose endpoints have no declared capacity for a request. */
final class ServiceCapacityCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    List<EntryFinding> findings = new ArrayList<>();
    List<String> names = checked.serviceNames();
    for (int index = 0; index < names.size(); index++) {
      ForwardService service = checked.configuration().services().get(names.get(index));
      // Of two services with the same name only the later one is applied.
      if (service != null && names.lastIndexOf(names.get(index)) == index) {
        checkPositive(
            service.maximumConnections(), EntryField.SERVICE_CONNECTIONS, index, findings);
        if (service.engine().isPresent()) {
          EngineCapacity engine = service.engine().get();
          checkPositive(engine.batchSlots(), EntryField.SERVICE_BATCH_SLOTS, index, findings);
          checkPositive(engine.memoryTokens(), EntryField.SERVICE_MEMORY, index, findings);
        }
      }
    }
    return findings;
  }

  private static void checkPositive(
      int capacity, EntryField field, int index, List<EntryFinding> findings) {
    if (capacity < 1) {
      findings.add(
          EntryFinding.error(
              "expected at least 1, but the capacity is " + capacity,
              EntryReference.of(field, index)));
    }
  }
}
