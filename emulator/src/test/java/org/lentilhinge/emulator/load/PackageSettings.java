package org.lentilhinge.emulator.load;

import org.approvaltests.core.ApprovalFailureReporter;
import org.approvaltests.reporters.QuietReporter;

/** Configures the approval tests: the directory of the golden files, and no diff viewer. */
public final class PackageSettings {

  /** Reports differences without starting a viewer. */
  public static ApprovalFailureReporter UseReporter = QuietReporter.INSTANCE;

  /** The directory of the golden files, relative to the sources. */
  public static String ApprovalBaseDirectory = "../resources";

  private PackageSettings() {}
}
