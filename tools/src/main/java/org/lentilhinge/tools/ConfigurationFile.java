package org.lentilhinge.tools;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.lentilhinge.configuration.ConfigurationCheckResult;
import org.lentilhinge.configuration.ConfigurationChecker;
import org.lentilhinge.follow.Part;
import org.lentilhinge.follow.PartStore;
import org.lentilhinge.follow.PublishedTextJoiner;
import org.lentilhinge.runtime.ini.IniReader;

/** Reads a configuration file with the parts in the directory {@code parts} beside it. */
final class ConfigurationFile {

  private static final String PARTS = "parts";

  private final Path file;

  ConfigurationFile(String file) {
    this.file = Path.of(file);
  }

  /** Checks the complete configuration. */
  ConfigurationCheckResult check() throws IOException {
    PartStore store = new PartStore();
    Path directory = file.toAbsolutePath().resolveSibling(PARTS);
    if (Files.isDirectory(directory)) {
      readParts(directory, store);
    }
    PublishedTextJoiner joiner = new PublishedTextJoiner(store, new IniReader());
    return new ConfigurationChecker().check(joiner.join(file.toString(), Files.readString(file)));
  }

  private static void readParts(Path directory, PartStore store) throws IOException {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, Files::isRegularFile)) {
      for (Path part : files) {
        store.put(Part.of(Files.readString(part)));
      }
    }
  }
}
