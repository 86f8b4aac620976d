/** The endpoints that registered themselves with the store, and which of them may be used. */
package org.lentilhinge.fleet;
