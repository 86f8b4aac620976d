/** The rules of the forwarding path: routes, request kinds, attempts and retries. */
package org.lentilhinge.forward;
