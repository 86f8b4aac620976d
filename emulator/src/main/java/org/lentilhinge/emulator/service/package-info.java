/** An emulated plain service that counts how often each call was executed. */
package org.lentilhinge.emulator.service;
