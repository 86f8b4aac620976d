/** Tests of customers and their keys. */
package org.lentilhinge.customer;
