package org.lentilhinge.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.configuration.ConfigurationEntry;
import org.lentilhinge.configuration.EntryReader;
import org.lentilhinge.configuration.ParsedText;
import org.lentilhinge.finding.FindingCollector;
import org.lentilhinge.finding.Place;

/** Joins a published text with the parts that it refers to. */
public final class PublishedTextJoiner {

  private final PartStore store;
  private final EntryReader reader;

  /**
   * Creates a joiner.
   *
   * @param store the store of the parts
   * @param reader splits texts into entries
   */
  public PublishedTextJoiner(PartStore store, EntryReader reader) {
    this.store = store;
    this.reader = reader;
  }

  /**
   * Joins a text with its parts. A text that is not in the store, an index text that refers to
   * further index texts, and a part that refers to other texts are reported as errors.
   *
   * @param file the name of the text, which findings show
   * @param text the text
   * @return the entries of the complete configuration, and the findings about the syntax of its
   *     texts
   */
  public ParsedText join(String file, String text) {
    Join join = new Join();
    Manifest root = join.add(file, text);
    for (PartReference reference : root.indexes()) {
      Optional<Manifest> index = join.add(reference);
      index.ifPresent(
          manifest -> manifest.indexes().forEach(nested -> join.rejectNestedReference(reference)));
      index.ifPresent(manifest -> manifest.parts().forEach(join::addPart));
    }
    root.parts().forEach(join::addPart);
    return join.text();
  }

  private final class Join {

    private final List<ConfigurationEntry> entries = new ArrayList<>();
    private final List<Place> emptySections = new ArrayList<>();
    private final FindingCollector collector = new FindingCollector();

    Manifest add(String file, String text) {
      ParsedText split = reader.read(file, text);
      Manifest manifest = Manifest.of(split);
      collector.addAll(split.findings());
      collector.addAll(manifest.findings());
      emptySections.addAll(split.emptySections());
      split.entries().stream().filter(entry -> !Manifest.isReference(entry)).forEach(entries::add);
      return manifest;
    }

    Optional<Manifest> add(PartReference reference) {
      Optional<String> text = store.text(reference.digest());
      if (text.isEmpty()) {
        collector.error(Place.ofFile(reference.name()), "there is no part " + reference.digest());
      }
      return text.map(stored -> add(reference.name(), stored));
    }

    void addPart(PartReference reference) {
      Optional<Manifest> part = add(reference);
      if (part.isPresent() && part.get().hasReferences()) {
        rejectNestedReference(reference);
      }
    }

    void rejectNestedReference(PartReference reference) {
      collector.error(Place.ofFile(reference.name()), "a part must not refer to other texts");
    }

    ParsedText text() {
      return new ParsedText(entries, emptySections, collector.findings());
    }
  }
}
