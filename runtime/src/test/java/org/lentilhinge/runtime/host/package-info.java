/** Tests of the runtime of an entry host. */
package org.lentilhinge.runtime.host;
