package org.lentilhinge.runtime.metric;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

/** Exposes the metrics of a registry in the text format of Prometheus. */
public final class MetricExposition {

  /** The media type of the rendered text. */
  public static final String CONTENT_TYPE = TextFormat.CONTENT_TYPE_004;

  private final CollectorRegistry collectors = new CollectorRegistry();

  /**
   * Creates the exposition of a registry.
   *
   * @param metrics the registry
   */
  public MetricExposition(MetricRegistry metrics) {
    collectors.register(new DropwizardExports(metrics));
  }

  /**
   * Returns the current values of all metrics.
   *
   * @return the text in the Prometheus format
   */
  public String render() {
    StringWriter writer = new StringWriter();
    try {
      TextFormat.write004(writer, collectors.metricFamilySamples());
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
    return writer.toString();
  }
}
