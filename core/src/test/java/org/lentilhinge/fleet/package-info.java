/** Tests of the registry of endpoints. */
package org.lentilhinge.fleet;
