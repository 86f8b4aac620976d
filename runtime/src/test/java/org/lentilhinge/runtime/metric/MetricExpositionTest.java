package org.lentilhinge.runtime.metric;

import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import org.testng.annotations.Test;

/** Tests the text that is exposed to Prometheus. */
public class MetricExpositionTest {

  @Test
  public void exposesCountersAndHistograms() {
    MetricRegistry metrics = new MetricRegistry();
    metrics.counter(MetricNames.REQUESTS).inc(2);
    metrics.histogram(MetricNames.FIRST_TOKEN_MILLIS).update(40);
    String text = new MetricExposition(metrics).render();
    assertTrue(text.contains("gateway_requests 2.0\n"), text);
    assertTrue(text.contains("gateway_first_token_millis{quantile=\"0.99\",} 40.0\n"), text);
  }
}
