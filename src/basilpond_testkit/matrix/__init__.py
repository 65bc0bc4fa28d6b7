"""Fault matrix: routers in one process, faults, and checks of what is seen.

`_network` has the connections and the membership view, `_endpoints` and
`_callers` the fakes at both ends, `_router` the product's tasks without
sockets, `_world` all of them together, `_faults` and `_cells` the matrix, and
`_checks` the guarantees. ``python -m basilpond_testkit.matrix`` runs it.
"""

from ._cells import Cell
from ._cells import all_cells
from ._cells import run_cell

__all__ = ['Cell', 'all_cells', 'run_cell']
