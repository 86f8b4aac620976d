/** Tests of the platform's emulators and of the clients that call them. */
package org.lentilhinge.emulator.platform;
