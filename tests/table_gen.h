/* Generates table documents of any size for tests. */
#ifndef TABLE_GEN_H
#define TABLE_GEN_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct table_gen - contents of a generated document
 * @n_servers: servers; they belong to one market, with ten in each service
 * @slots: slots of each server; 0 omits its row
 * @lease_ms: tunable "lease_ms"; 0 omits the tunables
 * @rows_reversed: write the servers in reverse order
 * @columns_reordered: write the columns of the servers in another order,
 *	and a comment behind each row
 */
struct table_gen {
	int n_servers;
	int *slots;
	int lease_ms;
	bool rows_reversed;
	bool columns_reordered;
};

/**
 * table_gen_init() - servers with two slots each, and a lease of 2000 ms
 */
void table_gen_init(struct table_gen *gen, int n);
void table_gen_finish(struct table_gen *gen);

/**
 * table_gen_text() - write the document as an operator would, with comments
 * @len: set to the length of the text
 *
 * Return: the text; release with free().
 */
char *table_gen_text(const struct table_gen *gen, size_t *len);

#endif
