/** Virtual time for simulations in tests. */
package org.lentilhinge.simulation;
