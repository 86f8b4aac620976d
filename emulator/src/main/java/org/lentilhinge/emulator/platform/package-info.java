/** Emulators of the platform's services, with fault injection. */
package org.lentilhinge.emulator.platform;
