/** Tests of the forwarding path. */
package org.lentilhinge.runtime.forward;
