/** The decision log: one line for each routing or placement decision. */
package org.lentilhinge.runtime.decision;
