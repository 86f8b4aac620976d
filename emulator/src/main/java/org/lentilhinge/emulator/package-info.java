/** Emulators of the systems that lentilhinge works with: engines, services and the platform. */
package org.lentilhinge.emulator;
