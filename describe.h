/* The columns and tunables of the table as a page for operators. */
#ifndef DESCRIBE_H
#define DESCRIBE_H

#include <stdio.h>

/**
 * describe_table_markdown() - print every sheet's options as Markdown tables
 */
void describe_table_markdown(FILE *out);

/**
 * describe_table_man() - print garnetreach-table(5) as input of scdoc
 */
void describe_table_man(FILE *out);

#endif
