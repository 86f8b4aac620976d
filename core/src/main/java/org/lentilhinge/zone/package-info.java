/** When and how much of the traffic leaves an availability zone, by measured costs and capacity. */
package org.lentilhinge.zone;
