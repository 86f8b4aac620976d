/** The settings of one entry host, read from an INI file and validated completely at startup. */
package org.lentilhinge.runtime.settings;
