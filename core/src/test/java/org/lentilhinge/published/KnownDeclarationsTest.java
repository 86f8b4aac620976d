package org.lentilhinge.published;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.customer.Customer;
import org.lentilhinge.customer.DeclaredCustomers;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.RequestKind;
import org.lentilhinge.forward.ServiceShare;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;
import org.testng.annotations.Test;

/** Tests that news carry the changes of the configuration only, and that no change is missed. */
public class KnownDeclarationsTest {

  private static ForwardRoute route(String name, long timeoutMillis) {
    return new ForwardRoute(
        name,
        "h",
        "/" + name + "/",
        RequestKind.SAFE,
        timeoutMillis,
        100,
        1,
        List.of(new ServiceShare("s", 1)),
        2,
        false,
        false);
  }

  private static ForwardConfiguration configuration(long version, List<ForwardRoute> routes) {
    return new ForwardConfiguration(
        new DeclaredVersion(version, new StoreRevision(0, version)),
        routes,
        Map.of(),
        ForwardLimits.DEFAULT);
  }

  private static DeclaredState declared(ForwardConfiguration configuration, long revision) {
    return new DeclaredState(Optional.of(configuration), List.of(), new StoreRevision(0, revision));
  }

  private static List<ForwardRoute> routes(int count) {
    List<ForwardRoute> routes = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      routes.add(route("r" + index, 500));
    }
    return routes;
  }

  // News with all routes filled the links of hosts when changes came in quick succession.
  @Test
  public void newsOfOneChangedRouteContainThatRouteOnly() {
    List<ForwardRoute> changed = routes(1_440);
    changed.set(700, route("r700", 900));
    KnownDeclarations reader = new KnownDeclarations();
    reader.update(StoreRevision.NONE, declared(configuration(1, routes(1_440)), 10));
    DeclarationNews news =
        reader.update(new StoreRevision(0, 10), declared(configuration(2, changed), 11));
    assertEquals(news.configuration().orElseThrow().routes(), List.of(route("r700", 900)));
  }

  @Test
  public void newsRebuildAnyConfiguration() {
    Random random = new Random(7);
    for (int round = 0; round < 2_000; round++) {
      List<ForwardRoute> next = routes(random.nextInt(6));
      ForwardConfiguration base = configuration(1, List.copyOf(next));
      for (int edit = random.nextInt(4); edit > 0; edit--) {
        int index = random.nextInt(next.size() + 1);
        if (random.nextBoolean() || index == next.size()) {
          next.add(index, route("r" + random.nextInt(6), random.nextInt(3)));
        } else {
          next.remove(index);
        }
      }
      ForwardConfiguration target = configuration(2, next);
      KnownDeclarations reader = new KnownDeclarations();
      KnownDeclarations other = new KnownDeclarations();
      reader.update(StoreRevision.NONE, declared(base, 10));
      other.update(StoreRevision.NONE, declared(base, 10));
      DeclarationNews news = reader.update(new StoreRevision(0, 10), declared(target, 11));
      assertEquals(other.apply(news).configuration(), Optional.of(target), "round " + round);
      assertTrue(other.isUpToDate(news));
      assertEquals(other.awaitedRevision(), Optional.of(new StoreRevision(0, 11)));
    }
  }

  // A host that missed one change must not take the next one for complete.
  @Test
  public void changeOfUnknownVersionHasToBeRead() {
    KnownDeclarations reader = new KnownDeclarations();
    KnownDeclarations other = new KnownDeclarations();
    reader.update(StoreRevision.NONE, declared(configuration(1, routes(3)), 10));
    other.update(StoreRevision.NONE, declared(configuration(1, routes(3)), 10));
    reader.update(new StoreRevision(0, 10), declared(configuration(2, routes(4)), 11));
    DeclarationNews news =
        reader.update(StoreRevision.NONE, declared(configuration(3, routes(5)), 12));
    assertTrue(other.apply(news).configuration().isEmpty());
    assertFalse(other.isUpToDate(news));
    assertEquals(other.awaitedRevision(), Optional.of(new StoreRevision(0, 10)));
    other.update(new StoreRevision(0, 10), declared(configuration(3, routes(5)), 12));
    assertTrue(other.isUpToDate(news));
  }

  private static ForwardConfiguration withKey(long version, String key) {
    Customer customer = new Customer("c", List.of(key), Optional.of(1), Allowance.UNLIMITED);
    return new ForwardConfiguration(
        new DeclaredVersion(version, new StoreRevision(0, version)),
        routes(2),
        Map.of(),
        ForwardLimits.DEFAULT,
        new DeclaredCustomers(true, List.of(customer)));
  }

  @Test
  public void newsContainTheCustomers() {
    KnownDeclarations reader = new KnownDeclarations();
    KnownDeclarations other = new KnownDeclarations();
    reader.update(StoreRevision.NONE, declared(withKey(1, "k1"), 10));
    other.update(StoreRevision.NONE, declared(withKey(1, "k1"), 10));
    DeclarationNews news = reader.update(new StoreRevision(0, 10), declared(withKey(2, "k2"), 11));
    assertEquals(other.apply(news).configuration(), Optional.of(withKey(2, "k2")));
  }

  // News of a build that does not know customers would open all routes to callers without a key.
  @Test
  public void newsWithoutCustomersHaveToBeRead() {
    KnownDeclarations reader = new KnownDeclarations();
    KnownDeclarations other = new KnownDeclarations();
    reader.update(StoreRevision.NONE, declared(withKey(1, "k1"), 10));
    other.update(StoreRevision.NONE, declared(withKey(1, "k1"), 10));
    DeclarationNews news = reader.update(new StoreRevision(0, 10), declared(withKey(2, "k2"), 11));
    ConfigurationChange change = news.configuration().orElseThrow();
    ConfigurationChange former =
        new ConfigurationChange(
            change.baseVersion(),
            change.version(),
            change.keptFirst(),
            change.keptLast(),
            change.routes(),
            change.services(),
            change.limits(),
            Optional.empty());
    DeclarationNews formerNews =
        new DeclarationNews(
            news.sinceRevision(),
            news.revision(),
            news.configurationVersion(),
            Optional.of(former),
            news.releases());
    assertTrue(other.apply(formerNews).configuration().isEmpty());
    assertFalse(other.isUpToDate(formerNews));
  }

  @Test
  public void hostWithoutConfigurationReadsTheStore() {
    KnownDeclarations reader = new KnownDeclarations();
    KnownDeclarations started = new KnownDeclarations();
    DeclarationNews news =
        reader.update(StoreRevision.NONE, declared(configuration(1, routes(3)), 10));
    assertTrue(started.apply(news).configuration().isEmpty());
    assertFalse(started.isUpToDate(news));
    assertTrue(started.awaitedRevision().isEmpty());
  }

  private static DeclaredState restored(long version, int routes, long era, long revision) {
    StoreRevision declaredAt = new StoreRevision(era, revision);
    ForwardConfiguration configuration =
        new ForwardConfiguration(
            new DeclaredVersion(version, declaredAt),
            routes(routes),
            Map.of(),
            ForwardLimits.DEFAULT);
    return new DeclaredState(Optional.of(configuration), List.of(), declaredAt);
  }

  // A configuration must not go back to the older one of a restored store.
  @Test
  public void restoredOlderConfigurationIsNotApplied() {
    KnownDeclarations known = new KnownDeclarations();
    known.update(StoreRevision.NONE, restored(7, 3, 1, 500));
    DeclarationNews news = known.update(StoreRevision.NONE, restored(5, 2, 2, 300));
    assertTrue(news.configuration().isEmpty());
    assertEquals(news.configurationVersion().number(), 7);
    assertEquals(known.awaitedRevision(), Optional.of(new StoreRevision(2, 300)));
  }

  @Test
  public void versionThatIsDeclaredAgainAfterRestoreReplacesTheFormerOne() {
    KnownDeclarations reader = new KnownDeclarations();
    KnownDeclarations other = new KnownDeclarations();
    reader.update(StoreRevision.NONE, restored(7, 3, 1, 500));
    other.update(StoreRevision.NONE, restored(7, 3, 1, 500));
    DeclarationNews news = reader.update(StoreRevision.NONE, restored(7, 4, 2, 310));
    assertEquals(other.apply(news).configuration().orElseThrow().routes(), routes(4));
    assertTrue(other.isUpToDate(news));
  }

  // A host that has seen the restore and one that has not use the same revisions for other states.
  @Test
  public void newsOfLaterEraDoNotFitFormerEra() {
    KnownDeclarations reader = new KnownDeclarations();
    KnownDeclarations other = new KnownDeclarations();
    reader.update(StoreRevision.NONE, restored(5, 3, 2, 300));
    other.update(StoreRevision.NONE, restored(5, 3, 1, 400));
    DeclarationNews news = reader.update(new StoreRevision(2, 300), restored(6, 4, 2, 310));
    other.apply(news);
    assertFalse(other.isUpToDate(news));
    assertEquals(other.awaitedRevision(), Optional.of(new StoreRevision(1, 400)));
  }

  @Test
  public void lateReadOfFormerEraLeavesTheStateIncomplete() {
    KnownDeclarations known = new KnownDeclarations();
    known.update(StoreRevision.NONE, restored(5, 3, 2, 300));
    known.invalidate();
    known.update(StoreRevision.NONE, restored(6, 4, 1, 500));
    assertTrue(known.awaitedRevision().isEmpty());
  }
}
