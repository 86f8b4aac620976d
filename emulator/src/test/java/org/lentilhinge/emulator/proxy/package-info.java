/** Tests of the proxy that repeats responses. */
package org.lentilhinge.emulator.proxy;
