/** The program's entry point: chooses between the platform's commands and the command line. */
package cacheproxy;
