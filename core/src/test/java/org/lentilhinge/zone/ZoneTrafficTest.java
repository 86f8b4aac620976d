package org.lentilhinge.zone;

import org.testng.annotations.Test;

/** Tests how much demand leaves a zone, in virtual time. */
public class ZoneTrafficTest {

  @Test
  public void trial() {
    for (boolean planned : new boolean[] {false, true}) {
      for (double d : new double[] {0.8, 1.0, 1.2, 1.5, 2.0}) {
        ZoneTrafficSimulation s = new ZoneTrafficSimulation(12, planned);
        s.run(3000);
        s.setDemand("a", d);
        for (int i = 0; i < 6; i++) {
          s.run(i < 4 ? 500 : 2000);
          StringBuilder t = new StringBuilder("planned=" + planned + " d=" + d + " ref");
          for (String z : new String[] {"a", "b", "c", "d"}) t.append(" " + z + "=" + s.refused(z));
          for (String z : new String[] {"aa", "ab", "ac", "ad", "ba", "bb", "bc", "bd"})
            t.append(" " + z + "=" + s.sent(z.substring(0, 1), z.substring(1)));
          for (String z : new String[] {"a", "b", "c", "d"})
            t.append(" w" + z + "=" + Math.round(s.meanWaitMillis(z)));
          System.out.println(t + " " + s.plan("a").shares());
        }
      }
    }
  }
}
