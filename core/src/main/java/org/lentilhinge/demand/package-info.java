/** The demand for adapters over all engines, and how many engines each adapter needs. */
package org.lentilhinge.demand;
