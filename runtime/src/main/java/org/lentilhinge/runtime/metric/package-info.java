/** The names of metrics and their exposition for Prometheus. */
package org.lentilhinge.runtime.metric;
