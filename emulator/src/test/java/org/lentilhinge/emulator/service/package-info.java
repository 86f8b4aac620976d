/** Tests of the service client against the emulated service. */
package org.lentilhinge.emulator.service;
