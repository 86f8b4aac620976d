/** Tests of complete sessions through one entry host. */
package org.lentilhinge.emulator.load;
