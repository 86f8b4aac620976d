package org.lentilhinge.identity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.testng.annotations.Test;

/** Tests the format check of names. */
public class NamesTest {

  @Test
  public void keepsTheName() {
    assertEquals(new AdapterId("drains-sofia").value(), "drains-sofia");
  }

  @Test
  public void rejectsAnEmptyName() {
    assertThrows(IllegalArgumentException.class, () -> new CallerId(""));
  }
}
