/** Parsing of INI texts, the format of both settings and configurations. */
package org.lentilhinge.runtime.ini;
