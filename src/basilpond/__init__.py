"""Router fleet for prepaid token budgets."""

__version__ = '0.1.0'
