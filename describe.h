/* Generates the operators' reference of the table's columns and tunables. */
#ifndef DESCRIBE_H
#define DESCRIBE_H

#include <stdio.h>

/**
 * describe_table_markdown() - print the options of every sheet as Markdown
 * @out: output stream
 */
void describe_table_markdown(FILE *out);

/**
 * describe_table_man() - print garnetreach-table(5) as scdoc source
 * @out: output stream
 */
void describe_table_man(FILE *out);

#endif
