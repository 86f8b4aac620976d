/** What a host knows of the endpoints that registered themselves, and which of them may be used. */
package org.lentilhinge.fleet;
