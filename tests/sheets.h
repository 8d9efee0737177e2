/* Made-up tables of any size whose rows can be changed. */
#ifndef SHEETS_H
#define SHEETS_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct sheets - the cells that vary
 * @n: rows of the sheet "servers"; a market and a service for each ten
 * @slots: of each server; 0: the row is not there
 * @lease_ms: of the tunable
 * @reversed: rows of the text come last to first
 * @swapped: columns of the text come in another order
 */
struct sheets {
	int n;
	int *slots;
	int lease_ms;
	bool reversed;
	bool swapped;
};

void table_gen_init(struct sheets *sheets, int n);
void table_gen_finish(struct sheets *sheets);

/**
 * table_gen_text() - the document of an operator, with comments
 * @len: length of the text
 *
 * Return: the text; release with free().
 */
char *table_gen_text(const struct sheets *sheets, size_t *len);

#endif
