/** The command line, with one class per subcommand. */
package org.lentilhinge.tools;
