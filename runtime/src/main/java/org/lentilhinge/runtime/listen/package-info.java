/** Listening sockets of a host. */
package org.lentilhinge.runtime.listen;
