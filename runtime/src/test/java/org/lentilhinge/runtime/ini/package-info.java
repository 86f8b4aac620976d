/** Tests of the parsing of INI texts. */
package org.lentilhinge.runtime.ini;
