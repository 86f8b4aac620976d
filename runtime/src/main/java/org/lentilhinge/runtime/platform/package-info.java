/** Clients of the platform's services, each an interface with an implementation over HTTP. */
package org.lentilhinge.runtime.platform;
