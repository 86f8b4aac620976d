/**
 * Calls to plain services. {@link org.lentilhinge.runtime.service.ServiceClient} sends a call in a
 * single attempt and reports whether the service may have executed it.
 */
package org.lentilhinge.runtime.service;
