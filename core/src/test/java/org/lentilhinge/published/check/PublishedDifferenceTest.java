package org.lentilhinge.published.check;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.configuration.ConfigurationChange;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardService;
import org.testng.annotations.Test;

/** Tests the changes between two published configurations. */
public class PublishedDifferenceTest {

  private static List<ConfigurationChange> changes(SampleConfiguration next) {
    return PublishedDifference.between(new SampleConfiguration().build(), next.build()).changes();
  }

  @Test
  public void equalConfigurationsDoNotDiffer() {
    assertEquals(changes(new SampleConfiguration()), List.of());
  }

  // A change that is not listed is published without a review.
  @Test
  public void listsEachChangedEntryOnce() {
    SampleConfiguration next = new SampleConfiguration();
    next.version = 8;
    next.routes.remove(1);
    next.gapTargets.put(0, 500L);
    next.services.add(new ForwardService("others", 10, Optional.empty()));
    next.customers.set(
        0, SampleConfiguration.customer("acme", new Allowance(9, 9, false, 0), "key-of-acme"));
    next.limits = new ForwardLimits(1, 2, 3, 4);
    assertEquals(
        changes(next).stream().map(ConfigurationChange::subject).toList(),
        List.of(
            "version", "route audit", "service others", "customer acme", "limits", "route status"));
    assertEquals(
        changes(next).get(0),
        new ConfigurationChange("version", Optional.of("7"), Optional.of("8")));
    assertTrue(changes(next).get(5).after().isEmpty());
  }

  // A changed key must be visible without being readable.
  @Test
  public void showsChangedKeysAsDigests() {
    SampleConfiguration next = new SampleConfiguration();
    next.customers.set(1, SampleConfiguration.customer("bolt", Allowance.UNLIMITED, "other-key"));
    List<ConfigurationChange> changes = changes(next);
    assertEquals(changes.size(), 1, changes.toString());
    assertEquals(changes.get(0).subject(), "customer bolt");
    assertFalse(changes.toString().contains("other-key"), changes.toString());
    assertFalse(changes.toString().contains("key-of-bolt"), changes.toString());
  }
}
