/** Sockets, files and timers round the core. */
package org.lentilhinge.runtime;
