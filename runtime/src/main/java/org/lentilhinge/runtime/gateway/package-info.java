/**
 * The HTTP interface for callers. {@link org.lentilhinge.runtime.gateway.Gateway} serves a list of
 * {@link org.lentilhinge.runtime.gateway.Routes}; decisions made elsewhere are accessed through
 * {@link org.lentilhinge.runtime.gateway.Classifier}, {@link
 * org.lentilhinge.runtime.gateway.Dispatcher}, {@link
 * org.lentilhinge.runtime.gateway.ServiceDispatcher} and {@link
 * org.lentilhinge.runtime.gateway.HostStatus}.
 */
package org.lentilhinge.runtime.gateway;
