/** Decides whether a request may be sent to an endpoint, and why not. */
package org.lentilhinge.dispatch;
