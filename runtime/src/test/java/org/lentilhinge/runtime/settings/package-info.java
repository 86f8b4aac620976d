/** Tests of the reading and validation of settings. */
package org.lentilhinge.runtime.settings;
